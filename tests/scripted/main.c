/**
 * DOC: Runs a script of events against the reducer and prints every effect.
 *
 *     scripted-run FILE
 *
 * Commands:
 *
 *     options zone=Z mode=M seed=N off=MECHANISM
 *     config FILE version=N
 *     announce SERVICE slots=N connections=N started=N until=MS
 *     target-leave | drain | tick | show | summary | quiet | verbose
 *     hide-membership            leaves out probes, news and rows
 *     serve MS                   answers each run by itself after that time
 *     member N service=S zone=Z slots=N connections=N incarnation=N state=S
 * up=B call N kind=K parent=N ordinal=N digest=N budget=MS key=N answer N
 * OUTCOME reason=R load=N levels=S:N,... tokens=N no-retry=B lost N
 * broken|not-sent|timeout gone N work N kind=K priority=P invested=MS budget=MS
 * digest=N tokens=N from=M end N
 * answered|not-sent|broken|timeout|aborted|too-large cancel N from=M cancels
 * the work item strike digest=N target=M age=MS
 *
 * N of call, work, end and member may be FIRST-LAST, the first three with
 * every=MS; the priority of work may be a range too, which is gone through in
 * an uneven order.
 */

#include <stdio.h>

#include "commands.h"

int
main (int argc, char **argv)
{
  GPtrArray *commands;
  struct run *run;

  if (argc != 2)
    {
      fprintf (stderr, "usage: %s FILE\n", argv[0]);
      return 2;
    }
  commands = script_load (argv[1]);
  if (commands->len == 0)
    return 2;
  run = commands_begin (g_ptr_array_index (commands, 0));
  for (uint32_t i = 1; i < commands->len; i++)
    {
      const struct script_command *command = g_ptr_array_index (commands, i);

      run_until (run, command->time_us);
      commands_handle (run, command);
    }
  fputs (run->out->str, stdout);
  run_drop (run);
  g_ptr_array_free (commands, TRUE);
  return 0;
}
