"""Heartbeats and rows of the store that no daemon or target of the site has written."""

import base64
import json
import time

INVENTED_SERVICE = "stranger"
DEEP = 20000
# How much more often a value is the address of a daemon than each other one.
PEERS_WEIGHT = 4
# JSON values of wrong types and sizes.
VALUES = ['""', "0", "-1", "1e999", "-1e999", "1" + "0" * 30, "Infinity", "null", "true", "[]", "{}", "[null]",
          '[{"target":[],"born_ms":{}}]', '"' + "x" * 5000 + '"', '"127.0.0.1:99999"', '"127.0.0.1:-1"',
          '"127.0.0.1:9"', '":"', '"\\u0000"', "[" * 30 + "]" * 30]
# A sound configuration without routes, of a version above all others.
ROUTELESS = ('{"version":"0fffffff","routes":{"columns":["name"],"rows":[]},'
             '"services":{"columns":["name"],"rows":[]},"limits":{"maxHeaderBytes":16384,'
             '"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}}')
# Documents of the rows that daemons read, with a place for each value.
FORMS = {
    "op": [ROUTELESS],
    "daemons": ['{"peer":%s,"zone":%s}', '{"refused":%s}', '{"refused":[%s,{"content":%s,"ends":%s}]}',
                '{"refused":[{"content":"0123456789abcdef","ends":[%s,[%s,%s,%s,%s]]}]}'],
    "targets": ['{"left":%s,"calls":%s}', '{"left":[%s,{"target":%s,"born_ms":%s}]}',
                '{"left":[],"calls":[%s,[%s,%s,%s]]}', '{"calls":[{"route":%s,"calls":%s,"runs":%s}]}'],
}
DOCUMENTS = ["", " ", "{", "[" * DEEP, '{"left":' * DEEP, '{"peer":"127.0.0.1:9","zone":' + "[" * DEEP,
             "\u00ff", "x" * 30000, *VALUES]


# Fields that no row has, and the ratio of the rows that have them.
MORE = [{"more": [[[]]]}, {"more": json.loads("[" * 40 + "]" * 40)}, {"deleted": "no"}, {"more": "x" * 1000}]
MORE_RATIO = 0.2


def make_row(choice, names, peers):
    """Returns the table, the key, the value, the part and further fields of an odd row, as the store keeps it.

    names, peers: names and addresses of the daemons.
    """
    table = choice.choice(list(FORMS))
    name = choice.choice([*names, *names, "", "odd", "x" * 200])
    prefix = choice.choice(["", "refused/"]) if table == "daemons" else ""
    part = choice.choice(["", "", "x"])
    if table == "op":
        name = choice.choice(["odd", "config\0", "config/"]) if part == "" else "config"
    document = choice.choice(DOCUMENTS)
    if choice.random() < 0.7:
        form = choice.choice(FORMS[table])
        values = VALUES + [f'"{choice.choice(peers)}"'] * PEERS_WEIGHT
        document = form % tuple(choice.choice(values) for _ in range(form.count("%s")))
    value = base64.b64encode(document.encode("latin-1")).decode()
    more = choice.choice(MORE) if choice.random() < MORE_RATIO else {}
    return table, (prefix + name)[:200], value, part, more


def make_heartbeat(choice, heartbeat, services):
    """Returns the method, the identifier and the document of a heartbeat of a target of another machine.

    heartbeat: document of the target whose daemon gets it; services: those of the site.
    Its service differs, or its address, or both.
    """
    document = {**heartbeat, "service": choice.choice([INVENTED_SERVICE, *services]),
                "state": choice.choice(["ready", "ready", "draining"]), "sequence": choice.randint(1, 9)}
    if document["service"] == heartbeat["service"] or choice.random() < 0.5:
        document["address"] = f"127.0.0.1:{choice.randint(1, 65535)}"
    if choice.random() < 0.3:
        document.pop("born", None)
    else:
        document["born"] = int(time.time() * 1000) + choice.choice([0, 0, 1000])
    method = "DELETE" if choice.random() < 0.15 else "PUT"
    return method, f"i-strange-{choice.randint(1, 1000)}", document
