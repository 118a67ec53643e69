#include "mutate.h"

#include <string.h>

#include "fuzz.h"

#define MUTATIONS_PER_INPUT_MAX 6
#define RANGE_MAX 64

/* Generator xorshift64*; the state must not be zero. */
typedef struct
{
  uint64_t state;
} Random;

/* Tokens that the parsers treat specially. */
static const char *const TOKENS[] = {
  "\"",
  "\\u0000",
  "\\ud800",
  "\\",
  "{",
  "}",
  "[",
  "]",
  ":",
  ",",
  "null",
  "true",
  "-1",
  "0",
  "4294967295",
  "4294967296",
  "9223372036854775807",
  "9223372036854775808",
  "18446744073709551616",
  "1e999",
  "1.5",
  "NaN",
  "\"\"",
  "/*",
  "*/",
  "//",
  "\n",
  "'",
  "\xff",
  "\xc3\xa9",
  "{\"a\":",
  "[[[[[[[[[[[[[[[[[",
  "127.0.0.1:0",
  "[::1]:65536",
  ".",
  "==",
  "AA==",
};

/* Values near the limits of XDR lengths and enumerations. */
static const uint32_t WORDS[]
    = { 0,    1,     2,    3,          4,          63,        64,     65,
        128,  129,   256,  257,        390,        391,       512,    513,
        1024, 4096,  4097, 0x00040000, 0x00040001, 0x7fff,    0xffff, 99999,
        1023, 16384, 77,   INT32_MAX,  0x80000000, UINT32_MAX };

static gint by_name (gconstpointer a, gconstpointer b);
static uint64_t next_random (Random *random);
static uint32_t random_below (Random *random, uint32_t bound);
static void mutate_once (GByteArray *bytes, const GPtrArray *corpus, Random *r);
static void
insert (GByteArray *bytes, guint at, const uint8_t *data, guint length);
static void splice (GByteArray *bytes, const GBytes *other, Random *random);
static void overwrite_word (GByteArray *bytes, Random *random);
static void repeat_range (GByteArray *bytes, Random *random);

GPtrArray *
hs_fuzz_corpus_read (const char *folder, GError **error)
{
  GDir *dir = g_dir_open (folder, 0, error);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *corpus;
  const char *name;
  guint i;

  if (dir == NULL)
    return NULL;
  while ((name = g_dir_read_name (dir)) != NULL)
    g_ptr_array_add (names, g_build_filename (folder, name, NULL));
  g_dir_close (dir);
  g_ptr_array_sort (names, by_name);
  corpus = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  for (i = 0; i < names->len; i++)
    {
      char *data;
      gsize n;

      if (!g_file_get_contents (names->pdata[i], &data, &n, error))
        {
          g_ptr_array_unref (corpus);
          return NULL;
        }
      g_ptr_array_add (corpus, g_bytes_new_take (data, n));
    }
  return corpus;
}

GByteArray *
hs_fuzz_mutate (const GPtrArray *corpus, uint64_t seed, uint64_t run)
{
  Random random
      = { (seed + 1) * 0x9e3779b97f4a7c15u ^ (run + 1) * 0xd1342543de82ef95u };
  GByteArray *bytes = g_byte_array_new ();
  const GBytes *first;
  uint32_t mutations;
  gsize n;
  const uint8_t *data;

  random.state |= 1;
  next_random (&random);
  next_random (&random);
  if (run < corpus->len)
    first = corpus->pdata[run];
  else
    first = corpus->pdata[random_below (&random, corpus->len)];
  data = g_bytes_get_data ((GBytes *) (uintptr_t) first, &n);
  g_byte_array_append (bytes, data, (guint) n);
  /* Each member of the corpus is also tried unchanged. */
  if (run < corpus->len)
    return bytes;
  for (mutations = 1 + random_below (&random, MUTATIONS_PER_INPUT_MAX);
       mutations > 0; mutations--)
    mutate_once (bytes, corpus, &random);
  if (bytes->len > HS_FUZZ_INPUT_MAX)
    g_byte_array_set_size (bytes, HS_FUZZ_INPUT_MAX);
  return bytes;
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static void
mutate_once (GByteArray *bytes, const GPtrArray *corpus, Random *r)
{
  guint at = bytes->len > 0 ? random_below (r, bytes->len) : 0;
  const char *token = TOKENS[random_below (r, G_N_ELEMENTS (TOKENS))];
  guint range = 1 + random_below (r, RANGE_MAX);

  range = MIN (range, bytes->len - at);
  switch (random_below (r, 8))
    {
    case 0:
      if (bytes->len > 0)
        bytes->data[at] ^= (uint8_t) (1u << random_below (r, 8));
      break;
    case 1:
      if (bytes->len > 0)
        bytes->data[at] = (uint8_t) next_random (r);
      break;
    case 2:
      insert (bytes, at, (const uint8_t *) token, (guint) strlen (token));
      break;
    case 3:
      if (range > 0)
        g_byte_array_remove_range (bytes, at, range);
      insert (bytes, at, (const uint8_t *) token, (guint) strlen (token));
      break;
    case 4:
      if (range > 0)
        g_byte_array_remove_range (bytes, at, range);
      break;
    case 5:
      repeat_range (bytes, r);
      break;
    case 6:
      splice (bytes, corpus->pdata[random_below (r, corpus->len)], r);
      break;
    default:
      overwrite_word (bytes, r);
      break;
    }
}

static uint64_t
next_random (Random *random)
{
  random->state ^= random->state >> 12;
  random->state ^= random->state << 25;
  random->state ^= random->state >> 27;
  return random->state * 0x2545f4914f6cdd1du;
}

static uint32_t
random_below (Random *random, uint32_t bound)
{
  return (uint32_t) ((next_random (random) >> 32) * bound >> 32);
}

static void
insert (GByteArray *bytes, guint at, const uint8_t *data, guint length)
{
  guint before = bytes->len;

  g_byte_array_set_size (bytes, before + length);
  memmove (bytes->data + at + length, bytes->data + at, before - at);
  memcpy (bytes->data + at, data, length);
}

/** Replaces the end by the end of another member of the corpus. */
static void
splice (GByteArray *bytes, const GBytes *other, Random *random)
{
  gsize n;
  const uint8_t *data = g_bytes_get_data ((GBytes *) (uintptr_t) other, &n);
  uint32_t from = n > 0 ? random_below (random, (uint32_t) n) : 0;

  if (bytes->len > 0)
    g_byte_array_set_size (bytes, random_below (random, bytes->len));
  g_byte_array_append (bytes, data + from, (guint) (n - from));
}

/** Overwrites a big-endian word, aligned to four bytes after the first byte,
 *  which selects the variant. */
static void
overwrite_word (GByteArray *bytes, Random *random)
{
  uint32_t word
      = GUINT32_TO_BE (WORDS[random_below (random, G_N_ELEMENTS (WORDS))]);
  guint at;

  if (bytes->len < 1 + sizeof word)
    return;
  at = 1 + 4 * random_below (random, (bytes->len - 1) / 4);
  memcpy (bytes->data + at, &word, sizeof word);
}

/** Repeats a range up to 500 times, to produce large element counts. */
static void
repeat_range (GByteArray *bytes, Random *random)
{
  guint at = bytes->len > 0 ? random_below (random, bytes->len) : 0;
  guint length = 1 + random_below (random, RANGE_MAX);
  uint32_t times
      = 1 + random_below (random, random_below (random, 16) == 0 ? 500 : 3);
  g_autofree uint8_t *range = NULL;

  length = MIN (length, bytes->len - at);
  if (length == 0)
    return;
  range = g_memdup2 (bytes->data + at, length);
  for (; times > 0 && bytes->len < HS_FUZZ_INPUT_MAX; times--)
    insert (bytes, at, range, length);
}
