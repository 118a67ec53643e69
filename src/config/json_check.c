#include "config/json_check.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define NO_PARENT UINT32_MAX

/** One open array or object. */
typedef struct
{
  uint32_t number; /**< Counts objects and arrays from 1. */
  uint32_t parent; /**< Key whose value it is in. */
  bool object;
  bool wants_key; /**< The next string is a key. */
} Level;

/** State of the walk over the text. */
typedef struct
{
  HsJsonDoc *doc;
  size_t at;
  size_t len;
  uint32_t line;
  uint32_t count;
  uint32_t key; /**< Last key seen on the path to here. */
  unsigned int depth;
  Level levels[HS_JSON_DEPTH_MAX];
} Scan;

static int free_root (HsJsonDoc *doc);
static bool
blank_comments (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error);
static bool scan_keys (Scan *scan, GError **error);
static bool
parse_root (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error);
static bool keys_unique (const HsJsonDoc *doc, uint32_t *line, GError **error);
static bool
path_matches (const HsJsonDoc *doc, uint32_t key, const char *path, size_t len);

HsJsonDoc *
hs_json_parse (TALLOC_CTX *ctx,
               const char *text,
               size_t len,
               HsJsonDialect dialect,
               uint32_t *line,
               GError **error)
{
  HsJsonDoc *doc = talloc_zero (ctx, HsJsonDoc);
  Scan scan = { .doc = doc, .len = len, .line = 1, .key = NO_PARENT };
  uint32_t at = 1;

  talloc_set_destructor (doc, free_root);
  doc->text = talloc_strndup (doc, text, len);
  if (memchr (text, '\0', len) != NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "the text holds a NUL byte; send JSON as UTF-8 text");
      goto fail;
    }
  if (dialect == HS_JSON_WITH_COMMENTS
      && !blank_comments (doc, len, &at, error))
    goto fail;
  if (!scan_keys (&scan, error))
    {
      at = scan.line;
      goto fail;
    }
  if (!parse_root (doc, len, &at, error) || !keys_unique (doc, &at, error))
    goto fail;
  return doc;

fail:
  if (line != NULL)
    *line = at;
  talloc_free (doc);
  return NULL;
}

uint32_t
hs_json_line (const HsJsonDoc *doc, const char *path)
{
  size_t len = strlen (path);
  size_t i;

  while (len > 0)
    {
      for (i = 0; i < doc->n_keys; i++)
        if (path_matches (doc, i, path, len))
          return doc->keys[i].line;
      while (len > 0 && path[len - 1] != '.')
        len--;
      if (len > 0)
        len--;
    }
  return 1;
}

static bool
path_matches (const HsJsonDoc *doc, uint32_t key, const char *path, size_t len)
{
  const HsJsonKey *k = &doc->keys[key];

  if (k->len > len || memcmp (path + len - k->len, k->name, k->len) != 0)
    return false;
  if (k->len == len)
    return k->parent == NO_PARENT;
  len -= k->len;
  return path[len - 1] == '.' && k->parent != NO_PARENT
         && path_matches (doc, k->parent, path, len - 1);
}

static int
free_root (HsJsonDoc *doc)
{
  json_object_put (doc->root);
  return 0;
}

/** The offset after the string that starts at @p at, or the end. */
static size_t
skip_string (const char *text, size_t at, size_t len)
{
  for (at++; at < len && text[at] != '"'; at++)
    if (text[at] == '\\')
      at++;
  return at < len ? at + 1 : len;
}

static uint32_t
line_of (const char *text, size_t at)
{
  uint32_t line = 1;
  size_t i;

  for (i = 0; i < at; i++)
    line += text[i] == '\n';
  return line;
}

/** The offset after the comment at @p at, or 0 if it isn't closed. */
static size_t
comment_end (const char *text, size_t at, size_t len)
{
  const char *end;

  if (text[at + 1] == '/')
    {
      end = memchr (text + at, '\n', len - at);
      return end != NULL ? (size_t) (end - text) : len;
    }
  end = strstr (text + at + 2, "*/");
  return end != NULL ? (size_t) (end - text) + 2 : 0;
}

/** Turns comments into spaces; line breaks stay, so that lines count. */
static bool
blank_comments (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error)
{
  char *text = doc->text;
  size_t at = 0;
  size_t end;

  while (at < len)
    {
      if (text[at] == '"')
        {
          at = skip_string (text, at, len);
          continue;
        }
      if (text[at] != '/' || (text[at + 1] != '/' && text[at + 1] != '*'))
        {
          at++;
          continue;
        }
      end = comment_end (text, at, len);
      if (end == 0)
        {
          *line = line_of (text, at);
          g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                       "a comment is not closed; end it with */");
          return false;
        }
      for (; at < end; at++)
        if (text[at] != '\n')
          text[at] = ' ';
    }
  return true;
}

static bool
add_key (Scan *scan, const Level *level, size_t end, GError **error)
{
  HsJsonDoc *doc = scan->doc;
  HsJsonKey *key;

  if (doc->n_keys == talloc_array_length (doc->keys))
    doc->keys = talloc_realloc (doc, doc->keys, HsJsonKey,
                                doc->n_keys == 0 ? 16 : 2 * doc->n_keys);
  key = &doc->keys[doc->n_keys];
  key->name = doc->text + scan->at + 1;
  key->len = end - scan->at < 2 ? 0 : end - scan->at - 2;
  key->object = level->number;
  key->parent = level->parent;
  key->line = scan->line;
  if (memchr (key->name, '\\', key->len) != NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "a key is written with an escape; write it plainly");
      return false;
    }
  scan->key = doc->n_keys++;
  return true;
}

static bool
open_level (Scan *scan, bool object, GError **error)
{
  Level *level = &scan->levels[scan->depth];

  if (scan->depth == HS_JSON_DEPTH_MAX)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "nested more than %d deep; use fewer levels",
                   HS_JSON_DEPTH_MAX);
      return false;
    }
  level->number = ++scan->count;
  level->parent = scan->key;
  level->object = object;
  level->wants_key = object;
  scan->depth++;
  return true;
}

static void
close_level (Scan *scan)
{
  if (scan->depth == 0)
    return;
  scan->depth--;
  scan->key = scan->levels[scan->depth].parent;
}

/**
 * Collects the keys. Syntax is left to json-c, which reads the same text
 * next: this walk has to be right for well-formed text only. Strings in
 * single quotes, which json-c reads even when strict, are refused here.
 */
static bool
scan_keys (Scan *scan, GError **error)
{
  const char *text = scan->doc->text;
  Level *top;
  size_t end;

  while (scan->at < scan->len)
    {
      top = scan->depth > 0 ? &scan->levels[scan->depth - 1] : NULL;
      end = scan->at + 1;
      switch (text[scan->at])
        {
        case '\n':
          scan->line++;
          break;
        case '{':
        case '[':
          if (!open_level (scan, text[scan->at] == '{', error))
            return false;
          break;
        case '}':
        case ']':
          close_level (scan);
          break;
        case ',':
          if (top != NULL)
            top->wants_key = top->object;
          break;
        case '"':
          end = skip_string (text, scan->at, scan->len);
          if (top != NULL && top->wants_key && !add_key (scan, top, end, error))
            return false;
          if (top != NULL)
            top->wants_key = false;
          break;
        case '\'':
          g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                       "a single quote outside of a string; use double quotes");
          return false;
        default:
          break;
        }
      scan->at = end;
    }
  return true;
}

static bool
parse_root (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error)
{
  struct json_tokener *tok = json_tokener_new_ex (HS_JSON_DEPTH_MAX + 1);
  enum json_tokener_error code;
  size_t end;

  json_tokener_set_flags (tok,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  doc->root = json_tokener_parse_ex (tok, doc->text, (int) len + 1);
  code = json_tokener_get_error (tok);
  end = json_tokener_get_parse_end (tok);
  json_tokener_free (tok);
  if (code == json_tokener_success && doc->root != NULL)
    return true;
  *line = line_of (doc->text, MIN (end, len));
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
               "not well-formed JSON (%s); correct the syntax",
               code == json_tokener_success ? "no value"
                                            : json_tokener_error_desc (code));
  return false;
}

static int
compare_keys (const void *a, const void *b)
{
  const HsJsonKey *x = *(const HsJsonKey *const *) a;
  const HsJsonKey *y = *(const HsJsonKey *const *) b;

  if (x->object != y->object)
    return x->object < y->object ? -1 : 1;
  if (x->len != y->len)
    return x->len < y->len ? -1 : 1;
  return memcmp (x->name, y->name, x->len);
}

static bool
keys_unique (const HsJsonDoc *doc, uint32_t *line, GError **error)
{
  const HsJsonKey **sorted;
  const HsJsonKey *twice = NULL;
  size_t i;

  if (doc->n_keys < 2)
    return true;
  sorted = talloc_array (NULL, const HsJsonKey *, doc->n_keys);
  for (i = 0; i < doc->n_keys; i++)
    sorted[i] = &doc->keys[i];
  qsort (sorted, doc->n_keys, sizeof (HsJsonKey *), compare_keys);
  for (i = 1; i < doc->n_keys && twice == NULL; i++)
    if (compare_keys (&sorted[i - 1], &sorted[i]) == 0)
      twice = MAX (sorted[i - 1], sorted[i]);
  talloc_free (sorted);
  if (twice == NULL)
    return true;
  *line = twice->line;
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
               "%.*s: the key is repeated; keep one of them",
               (int) MIN (twice->len, 64), twice->name);
  return false;
}
