"""Heartbeats and rows of the store that no daemon or target of the site has written."""

import base64
import time

INVENTED_SERVICE = "stranger"
DEEP = 20000
# JSON values of wrong types and sizes.
VALUES = ['""', "0", "-1", "1e999", "-1e999", "1" + "0" * 30, "Infinity", "null", "true", "[]", "{}", "[null]",
          '[{"target":[],"born_ms":{}}]', '"' + "x" * 5000 + '"', '"127.0.0.1:99999"', '"127.0.0.1:-1"',
          '"127.0.0.1:9"', '":"', '"\\u0000"', "[" * 30 + "]" * 30]
# Documents of the rows that daemons read, with a place for each value.
FORMS = {
    "daemons": ['{"peer":%s,"zone":%s}', '{"refused":%s}', '{"refused":[%s,{"content":%s,"ends":%s}]}',
                '{"refused":[{"content":"0123456789abcdef","ends":[%s,[%s,%s,%s,%s]]}]}'],
    "targets": ['{"left":%s,"calls":%s}', '{"left":[%s,{"target":%s,"born_ms":%s}]}',
                '{"left":[],"calls":[%s,[%s,%s,%s]]}', '{"calls":[{"route":%s,"calls":%s,"runs":%s}]}'],
}
DOCUMENTS = ["", " ", "{", "[" * DEEP, '{"left":' * DEEP, '{"peer":"127.0.0.1:9","zone":' + "[" * DEEP,
             "\u00ff", "x" * 30000, *VALUES]


def make_row(choice, names):
    """Returns the table, the key and the value of an odd row, as the store keeps it."""
    table = choice.choice(list(FORMS))
    name = choice.choice([*names, *names, "", "odd", "x" * 200])
    prefix = choice.choice(["", "refused/"]) if table == "daemons" else ""
    document = choice.choice(DOCUMENTS)
    if choice.random() < 0.7:
        form = choice.choice(FORMS[table])
        document = form % tuple(choice.choice(VALUES) for _ in range(form.count("%s")))
    return table, (prefix + name)[:200], base64.b64encode(document.encode("latin-1")).decode()


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
        del document["born"]
    else:
        document["born"] = int(time.time() * 1000) + choice.choice([0, 0, 1000])
    method = "DELETE" if choice.random() < 0.15 else "PUT"
    return method, f"i-strange-{choice.randint(1, 1000)}", document
