#ifndef JACKDAWLADDER_TESTS_COMMANDS_H
#define JACKDAWLADDER_TESTS_COMMANDS_H

/**
 * DOC: The commands of a script.
 */

#include "run.h"
#include "script.h"

/**
 * commands_begin - begins a run, from the command "options"
 */
struct run *commands_begin (const struct script_command *command);

/**
 * commands_handle - carries out any other command
 */
void commands_handle (struct run *run, const struct script_command *command);

#endif
