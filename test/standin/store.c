/**
 * @file
 * standin-store: a program that stands in for the key-value service.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store_server.h"

static void
on_signal (struct tevent_context *ev,
           struct tevent_signal *se,
           int signum,
           int count,
           void *info,
           void *arg)
{
  bool *stop = arg;

  (void) ev;
  (void) se;
  (void) signum;
  (void) count;
  (void) info;
  *stop = true;
}

/* The file is written atomically, so that a script can wait for it. */
static bool
write_port (const char *path, uint16_t port)
{
  g_autofree char *text = g_strdup_printf ("%u\n", port);

  return path == NULL || g_file_set_contents (path, text, -1, NULL);
}

static HsStoreServer *
listen_on (struct tevent_context *ev, const char *address)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *ip = NULL;

  if (colon == NULL)
    return NULL;
  ip = g_strndup (address, (gsize) (colon - address));
  return hs_store_server_new (ev, ev, ip,
                              (uint16_t) strtoul (colon + 1, NULL, 10));
}

int
main (int argc, char **argv)
{
  g_autofree char *address = g_strdup ("127.0.0.1:0");
  g_autofree char *port_file = NULL;
  const GOptionEntry options[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &address,
            "Address to listen on", "IP:PORT" },
          { "port-file", 0, 0, G_OPTION_ARG_FILENAME, &port_file,
            "File to write the port to", "FILE" },
          G_OPTION_ENTRY_NULL };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;
  struct tevent_context *ev = tevent_context_init (NULL);
  HsStoreServer *server;
  bool stop = false;

  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin-store: %s\n", error->message);
      return 2;
    }
  server = listen_on (ev, address);
  if (server == NULL || !write_port (port_file, hs_store_server_port (server)))
    {
      fprintf (stderr, "standin-store: can't listen on %s\n", address);
      return 1;
    }
  tevent_add_signal (ev, ev, SIGTERM, 0, on_signal, &stop);
  tevent_add_signal (ev, ev, SIGINT, 0, on_signal, &stop);
  while (!stop)
    tevent_loop_once (ev);
  talloc_free (ev);
  return 0;
}
