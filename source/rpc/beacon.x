/*
 * Beacons: UDP datagrams in which each daemon announces its state to others, and
 * datagrams with reports on contents that are suspected of ending targets.
 */

const BEACON_TEXT_MAX = 200;
const BEACON_FANOUT_MAX = 32;
const BEACON_ARRIVALS_MAX = 32;
const BEACON_REPORTS_MAX = 64;
const BEACON_CONTENTS_MAX = 150;

struct beacon_fanout
{
  unsigned int run;
  unsigned int call;
  unsigned int calls_milli;
};

struct beacon_arrival
{
  unsigned int route;
  unsigned int count_centi;
};

struct beacon_message
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  string zone<BEACON_TEXT_MAX>;
  string service<BEACON_TEXT_MAX>;
  string target<BEACON_TEXT_MAX>;
  unsigned int ip;
  unsigned int port;
  unsigned hyper epoch;
  unsigned hyper sequence;
  unsigned int state;
  unsigned int limit;
  unsigned int shed_milli;
  unsigned int room_milli;
  unsigned int hold_us;
  unsigned int failing_milli;
  unsigned hyper site_version;
  beacon_fanout fanout<BEACON_FANOUT_MAX>;
  beacon_arrival arrivals<BEACON_ARRIVALS_MAX>;
};

/* Follows a beacon_message in the same datagram. */
struct beacon_extension
{
  unsigned int target_key;
};

/* Follows a beacon_extension in the same datagram. withdrawn: the sender is about
 * to send no more beacons to this daemon, which is to send it no more requests.
 * store_era: era of the store that the sender knows, 0 for none. departed: the
 * target itself has announced its leave; a state "leaving" may also mean that the
 * daemon stops. */
struct beacon_notice
{
  unsigned int withdrawn;
  unsigned hyper store_era;
  unsigned int departed;
};

struct beacon_report
{
  unsigned int kind;
  unsigned int flags;
  unsigned int target;
  unsigned int age_ms;
  unsigned hyper contents<BEACON_CONTENTS_MAX>;
};

struct beacon_reports
{
  unsigned int format;
  string name<BEACON_TEXT_MAX>;
  beacon_report reports<BEACON_REPORTS_MAX>;
};

/* Follows beacon_reports in the same datagram: the key of the service of each
 * report's target. */
struct beacon_reports_extension
{
  unsigned int services<BEACON_REPORTS_MAX>;
};
