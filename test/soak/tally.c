#include "tally.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

static const char *const KEYS[] = {
  "event=list_overtaken", "result=unanswered", "evidence=answer",
  "evidence=listed",      "evidence=missing",  "evidence=fenced",
  "evidence=replaced",    "evidence=lease",    "evidence=none",
};

static unsigned int
count (const char *text, const char *key)
{
  unsigned int n = 0;

  while ((text = strstr (text, key)) != NULL)
    {
      n++;
      text += strlen (key);
    }
  return n;
}

void
tally_print (const Cluster *cluster)
{
  unsigned int counts[G_N_ELEMENTS (KEYS)] = { 0 };
  unsigned int i;
  gsize k;

  for (i = 0; i < cluster->n_agents; i++)
    {
      g_autofree char *path
          = g_strdup_printf ("%s/agent%u.log", cluster->dir, i);
      g_autofree char *text = NULL;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        continue;
      for (k = 0; k < G_N_ELEMENTS (KEYS); k++)
        counts[k] += count (text, KEYS[k]);
    }
  printf ("crossed:");
  for (k = 0; k < G_N_ELEMENTS (KEYS); k++)
    printf (" %s=%u", strchr (KEYS[k], '=') + 1, counts[k]);
  printf ("\n");
}
