#ifndef JACKDAWLADDER_TESTS_COMMANDS_H
#define JACKDAWLADDER_TESTS_COMMANDS_H

/**
 * DOC: Executes the commands of a script.
 */

#include "run.h"
#include "script.h"

/**
 * commands_begin - creates a run from the command "options"
 */
struct run *commands_begin (const struct script_command *command);

/**
 * commands_handle - executes any command but "options"
 */
void commands_handle (struct run *run, const struct script_command *command);

#endif
