#include "base/address.h"

#include <string.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>

/** Maximum length of a numeric IP address in text form, with brackets. */
#define IP_TEXT_MAX 63

static bool parse_port (const char *text, in_port_t *port);
static bool parse_ip4 (const char *ip, struct sockaddr_in *in);
static bool parse_ip6 (const char *ip, size_t len, struct sockaddr_in6 *in);

bool
hs_address_parse (const char *text,
                  struct sockaddr_storage *address,
                  socklen_t *len)
{
  const char *colon = strrchr (text, ':');
  struct sockaddr_in *in4 = (struct sockaddr_in *) address;
  struct sockaddr_in6 *in6 = (struct sockaddr_in6 *) address;
  char ip[IP_TEXT_MAX + 1];
  in_port_t port;

  if (colon == NULL || (size_t) (colon - text) >= sizeof ip)
    return false;
  if (!parse_port (colon + 1, &port))
    return false;
  memcpy (ip, text, colon - text);
  ip[colon - text] = '\0';
  memset (address, 0, sizeof *address);
  if (parse_ip4 (ip, in4))
    {
      in4->sin_port = port;
      *len = sizeof *in4;
      return true;
    }
  if (parse_ip6 (ip, colon - text, in6))
    {
      in6->sin6_port = port;
      *len = sizeof *in6;
      return true;
    }
  return false;
}

unsigned int
hs_address_port (const struct sockaddr_storage *address)
{
  if (address->ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *) address)->sin6_port);
  return ntohs (((const struct sockaddr_in *) address)->sin_port);
}

bool
hs_address_is_any (const struct sockaddr_storage *address)
{
  const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *) address;
  const struct sockaddr_in *in4 = (const struct sockaddr_in *) address;

  if (address->ss_family == AF_INET6)
    return IN6_IS_ADDR_UNSPECIFIED (&in6->sin6_addr);
  return in4->sin_addr.s_addr == htonl (INADDR_ANY);
}

static bool
parse_port (const char *text, in_port_t *port)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT16, &value, NULL))
    return false;
  *port = htons ((uint16_t) value);
  return true;
}

static bool
parse_ip4 (const char *ip, struct sockaddr_in *in)
{
  if (inet_pton (AF_INET, ip, &in->sin_addr) != 1)
    return false;
  in->sin_family = AF_INET;
  return true;
}

static bool
parse_ip6 (const char *ip, size_t len, struct sockaddr_in6 *in)
{
  char inner[IP_TEXT_MAX + 1];

  if (len < 2 || ip[0] != '[' || ip[len - 1] != ']')
    return false;
  memcpy (inner, ip + 1, len - 2);
  inner[len - 2] = '\0';
  if (inet_pton (AF_INET6, inner, &in->sin6_addr) != 1)
    return false;
  in->sin6_family = AF_INET6;
  return true;
}
