/**
 * DOC: Request kinds and configurations of the random runs.
 *
 * Service S has the kinds get-S, which is idempotent, and put-S, which is not;
 * both call kinds of service S + 1. The order of kinds and services in the
 * document differs between versions.
 */

#include <stdio.h>
#include <string.h>

#include "../support/print.h"
#include "core/core-impl.h"
#include "world.h"

uint32_t
kind_service (uint32_t kind)
{
  return kind / 2;
}

bool
kind_idempotent (uint32_t kind)
{
  return kind % 2 == 0;
}

static void
kind_name (uint32_t kind, char *name)
{
  snprintf (name, JL_NAME_SIZE, "%s-%u", kind_idempotent (kind) ? "get" : "put",
            kind_service (kind));
}

uint32_t
kind_index (const struct node *node, uint32_t kind)
{
  const struct jl_config *config = node->core->config;
  char name[JL_NAME_SIZE];

  kind_name (kind, name);
  for (uint32_t i = 0; config != NULL && i < config->kind_count; i++)
    if (strcmp (config->kinds[i].name, name) == 0)
      return i;
  return JL_NONE;
}

uint64_t
config_version_of (const struct node *node)
{
  return node->core->config == NULL ? 0 : node->core->config->version;
}

uint32_t
kind_children (const struct world *world, uint32_t kind, uint32_t *children)
{
  uint32_t service = kind_service (kind);
  uint32_t get = 2 * (service + 1);
  uint32_t count = 0;

  if (service + 1 >= world->plan->service_count)
    return 0;
  if (kind_idempotent (kind))
    {
      children[count++] = get;
      if (service == 0)
        children[count++] = get;
      if (service < 2)
        children[count++] = get + 1;
      return count;
    }
  children[count++] = get + 1;
  if (service == 0)
    children[count++] = get + 1;
  if (service % 2 == 1)
    children[count++] = get;
  return count;
}

static void
append_kind (GString *text, uint32_t kind)
{
  static const char *const classes[] = { "high", "middle", "low" };
  char name[JL_NAME_SIZE];

  kind_name (kind, name);
  g_string_append_printf (
      text,
      "{\"name\":\"%s\",\"service\":\"s%u\",\"path\":\"/%s\","
      "\"class\":\"%s\",\"idempotent\":%s,\"deadline_ms\":%u,"
      "\"retry_tokens\":%u}",
      name, kind_service (kind), name,
      classes[kind_idempotent (kind) ? 1 + kind / 2 % 2 : 0],
      kind_idempotent (kind) ? "true" : "false", 1500 + 500 * (kind % 3),
      RETRY_TOKENS);
}

struct jl_config *
make_config (const struct plan *plan, uint64_t version)
{
  GString *text = g_string_new ("{\"classes\":[\"high\",\"middle\",\"low\"],"
                                "\"zones\":[");
  uint32_t kinds = 2 * plan->service_count;
  struct jl_config *config;
  GError *error = NULL;

  for (uint32_t i = 0; i < plan->zone_count; i++)
    g_string_append_printf (text, "%s{\"name\":\"z%u\",\"region\":\"r\"}",
                            i > 0 ? "," : "", i);
  g_string_append (text, "],\"services\":[");
  for (uint32_t i = 0; i < plan->service_count; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"s%u\",\"retry_percent\":50,\"cold_start_ms\":2000}",
        i > 0 ? "," : "", (uint32_t)(i + version) % plan->service_count);
  g_string_append (text, "],\"kinds\":[");
  for (uint32_t i = 0; i < kinds; i++)
    {
      g_string_append (text, i > 0 ? "," : "");
      append_kind (text, (uint32_t)(i + version) % kinds);
    }
  g_string_append (text, "]}");
  config = jl_config_new (text->str, text->len, version, &error);
  if (config == NULL)
    g_error ("%s", error->message);
  g_string_free (text, TRUE);
  return config;
}

struct node *
node_at (struct world *world, struct jl_endpoint endpoint)
{
  uint32_t index = (endpoint.ip & 255) - 1;

  return index < world->plan->node_count ? &world->nodes[index] : NULL;
}
