/*
 * Control messages between daemons. The program has a single one-way procedure:
 * no RPC reply is ever sent, since answers are separate control messages.
 */

const WIRE_NAME_MAX = 47;
const WIRE_MEMBER_MAX = 24;
const WIRE_STRIKE_MAX = 8;

struct wire_identity
{
  unsigned hyper member;
  unsigned hyper epoch;
};

struct wire_attempt
{
  wire_identity origin;
  unsigned hyper number;
};

struct wire_member
{
  wire_identity identity;
  unsigned int incarnation;
  unsigned int state;
  unsigned int peer_ip;
  unsigned int peer_port;
  string zone<WIRE_NAME_MAX>;
  string service<WIRE_NAME_MAX>;
  unsigned int slots;
  unsigned int connections;
  bool target_up;
};

struct wire_strike
{
  unsigned hyper digest;
  unsigned hyper target;
  unsigned int age_ms;
};

struct wire_message
{
  unsigned int type;
  wire_identity from;
  wire_identity to;
  unsigned hyper sequence;
  unsigned hyper subject;
  wire_attempt *attempt;
  unsigned hyper config_version;
  unsigned hyper config_digest;
  wire_member members<WIRE_MEMBER_MAX>;
  wire_strike strikes<WIRE_STRIKE_MAX>;
};

program WIRE_PROGRAM
{
  version WIRE_VERSION
  {
    void WIRE_SEND (wire_message) = 1;
  } = 1;
} = 0x2a4a4c01;
