/**
 * DOC: Runs a script of events against the reducer and prints each effect.
 *
 *     scripted-run FILE
 *
 * Commands:
 *
 *     options zone=Z mode=M seed=N off=MECHANISM
 *     config FILE version=N
 *     announce SERVICE slots=N connections=N started=N until=MS
 *     target-leave | drain | tick
 *     show                       prints the state of admission
 *     summary                    prints counts of work items by class
 *     quiet | verbose            prints summaries and states only, or all
 *     hide-membership            omits membership messages and published rows
 *     serve MS                   answers each run after that time
 *     member N service=S zone=Z slots=N connections=N
 *            incarnation=N state=S up=B
 *     call N kind=K parent=N ordinal=N digest=N budget=MS key=N
 *     answer N OUTCOME reason=R load=N levels=S:N,... tokens=N
 *            no-retry=B retry-after=MS
 *     lost N broken|not-sent|timeout
 *     gone N
 *     work N kind=K priority=P invested=MS budget=MS digest=N
 *            tokens=N from=M
 *     end N answered|not-sent|broken|timeout|aborted|too-large
 *     cancel N from=M            cancels the work item
 *     strike digest=N target=M age=MS
 *
 * N of call, work, end and member may be a range FIRST-LAST. For call, work
 * and end, every=MS spreads the events of the range over time. The priority
 * of work may be a range too; the work items get its values in an order that
 * is not sorted.
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
