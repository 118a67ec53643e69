#include "config/json_check.h"

#include <stdlib.h>
#include <string.h>

#include "base/error.h"

#define NO_PARENT UINT32_MAX

/** One open array or object. */
typedef struct
{
  uint32_t id;         /**< Number of the object or array, from 1. */
  uint32_t parent_key; /**< Index of the key whose value contains it. */
  bool is_object;
  bool expects_key; /**< The next string is a key. */
} Level;

/** State of scan_keys(). */
typedef struct
{
  HsJsonDoc *doc;
  size_t pos;
  size_t len;
  uint32_t line;
  uint32_t last_object_id;
  uint32_t last_key; /**< Index of the innermost key on the path. */
  unsigned int depth;
  Level levels[HS_JSON_DEPTH_MAX];
} Scanner;

static int free_root (HsJsonDoc *doc);
static bool
blank_out_comments (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error);
static bool scan_keys (Scanner *scanner, GError **error);
static bool
parse_root (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error);
static bool
check_unique_keys (const HsJsonDoc *doc, uint32_t *line, GError **error);
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
  Scanner scanner
      = { .doc = doc, .len = len, .line = 1, .last_key = NO_PARENT };
  uint32_t error_line = 1;

  talloc_set_destructor (doc, free_root);
  doc->text = talloc_strndup (doc, text, len);
  if (memchr (text, '\0', len) != NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "the text holds a NUL byte; send JSON as UTF-8 text");
      goto fail;
    }
  if (dialect == HS_JSON_WITH_COMMENTS
      && !blank_out_comments (doc, len, &error_line, error))
    goto fail;
  if (!scan_keys (&scanner, error))
    {
      error_line = scanner.line;
      goto fail;
    }
  if (!parse_root (doc, len, &error_line, error)
      || !check_unique_keys (doc, &error_line, error))
    goto fail;
  return doc;

fail:
  if (line != NULL)
    *line = error_line;
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
    return k->parent_key == NO_PARENT;
  len -= k->len;
  return path[len - 1] == '.' && k->parent_key != NO_PARENT
         && path_matches (doc, k->parent_key, path, len - 1);
}

static int
free_root (HsJsonDoc *doc)
{
  json_object_put (doc->root);
  return 0;
}

/** The offset after the string that starts at @p pos, or @p len. */
static size_t
skip_string (const char *text, size_t pos, size_t len)
{
  for (pos++; pos < len && text[pos] != '"'; pos++)
    if (text[pos] == '\\')
      pos++;
  return pos < len ? pos + 1 : len;
}

static uint32_t
line_at (const char *text, size_t pos)
{
  uint32_t line = 1;
  size_t i;

  for (i = 0; i < pos; i++)
    line += text[i] == '\n';
  return line;
}

/** The offset after the comment at @p pos, or 0 if it isn't closed. */
static size_t
comment_end (const char *text, size_t pos, size_t len)
{
  const char *end;

  if (text[pos + 1] == '/')
    {
      end = memchr (text + pos, '\n', len - pos);
      return end != NULL ? (size_t) (end - text) : len;
    }
  end = strstr (text + pos + 2, "*/");
  return end != NULL ? (size_t) (end - text) + 2 : 0;
}

/** Replaces comments by spaces; line breaks stay, so that line numbers remain
 *  right. */
static bool
blank_out_comments (HsJsonDoc *doc, size_t len, uint32_t *line, GError **error)
{
  char *text = doc->text;
  size_t pos = 0;
  size_t end;

  while (pos < len)
    {
      if (text[pos] == '"')
        {
          pos = skip_string (text, pos, len);
          continue;
        }
      if (text[pos] != '/' || (text[pos + 1] != '/' && text[pos + 1] != '*'))
        {
          pos++;
          continue;
        }
      end = comment_end (text, pos, len);
      if (end == 0)
        {
          *line = line_at (text, pos);
          g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                       "a comment is not closed; end it with */");
          return false;
        }
      for (; pos < end; pos++)
        if (text[pos] != '\n')
          text[pos] = ' ';
    }
  return true;
}

static bool
add_key (Scanner *scanner, const Level *level, size_t end, GError **error)
{
  HsJsonDoc *doc = scanner->doc;
  HsJsonKey *key;

  if (doc->n_keys == talloc_array_length (doc->keys))
    doc->keys = talloc_realloc (doc, doc->keys, HsJsonKey,
                                doc->n_keys == 0 ? 16 : 2 * doc->n_keys);
  key = &doc->keys[doc->n_keys];
  key->name = doc->text + scanner->pos + 1;
  key->len = end - scanner->pos < 2 ? 0 : end - scanner->pos - 2;
  key->object_id = level->id;
  key->parent_key = level->parent_key;
  key->line = scanner->line;
  if (memchr (key->name, '\\', key->len) != NULL)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "a key is written with an escape; write it plainly");
      return false;
    }
  scanner->last_key = doc->n_keys++;
  return true;
}

static bool
open_level (Scanner *scanner, bool is_object, GError **error)
{
  Level *level = &scanner->levels[scanner->depth];

  if (scanner->depth == HS_JSON_DEPTH_MAX)
    {
      g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                   "nested more than %d deep; use fewer levels",
                   HS_JSON_DEPTH_MAX);
      return false;
    }
  level->id = ++scanner->last_object_id;
  level->parent_key = scanner->last_key;
  level->is_object = is_object;
  level->expects_key = is_object;
  scanner->depth++;
  return true;
}

static void
close_level (Scanner *scanner)
{
  if (scanner->depth == 0)
    return;
  scanner->depth--;
  scanner->last_key = scanner->levels[scanner->depth].parent_key;
}

/**
 * Collects the keys. This scan is right only for well-formed text: json-c,
 * which parses the same text next, checks the syntax. Strings in single quotes
 * are refused here because json-c accepts them even in strict mode.
 */
static bool
scan_keys (Scanner *scanner, GError **error)
{
  const char *text = scanner->doc->text;
  Level *top;
  size_t end;

  while (scanner->pos < scanner->len)
    {
      top = scanner->depth > 0 ? &scanner->levels[scanner->depth - 1] : NULL;
      end = scanner->pos + 1;
      switch (text[scanner->pos])
        {
        case '\n':
          scanner->line++;
          break;
        case '{':
        case '[':
          if (!open_level (scanner, text[scanner->pos] == '{', error))
            return false;
          break;
        case '}':
        case ']':
          close_level (scanner);
          break;
        case ',':
          if (top != NULL)
            top->expects_key = top->is_object;
          break;
        case '"':
          end = skip_string (text, scanner->pos, scanner->len);
          if (top != NULL && top->expects_key
              && !add_key (scanner, top, end, error))
            return false;
          if (top != NULL)
            top->expects_key = false;
          break;
        case '\'':
          g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
                       "a single quote outside of a string; use double quotes");
          return false;
        default:
          break;
        }
      scanner->pos = end;
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
  *line = line_at (doc->text, MIN (end, len));
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

  if (x->object_id != y->object_id)
    return x->object_id < y->object_id ? -1 : 1;
  if (x->len != y->len)
    return x->len < y->len ? -1 : 1;
  return memcmp (x->name, y->name, x->len);
}

static bool
check_unique_keys (const HsJsonDoc *doc, uint32_t *line, GError **error)
{
  const HsJsonKey **sorted;
  const HsJsonKey *duplicate = NULL;
  size_t i;

  if (doc->n_keys < 2)
    return true;
  sorted = talloc_array (NULL, const HsJsonKey *, doc->n_keys);
  for (i = 0; i < doc->n_keys; i++)
    sorted[i] = &doc->keys[i];
  qsort (sorted, doc->n_keys, sizeof (HsJsonKey *), compare_keys);
  for (i = 1; i < doc->n_keys && duplicate == NULL; i++)
    if (compare_keys (&sorted[i - 1], &sorted[i]) == 0)
      duplicate = MAX (sorted[i - 1], sorted[i]);
  talloc_free (sorted);
  if (duplicate == NULL)
    return true;
  *line = duplicate->line;
  g_set_error (error, HS_ERROR, HS_ERROR_INVALID,
               "%.*s: the key is repeated; keep one of them",
               (int) MIN (duplicate->len, 64), duplicate->name);
  return false;
}
