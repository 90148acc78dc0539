/** Fields whose effect on an answer can't be put together again from pieces of text. */
const UNSTREAMABLE_FIELDS = ['tools', 'functions', 'logprobs', 'echo', 'best_of', 'audio']

/**
 * Whether an item's answer can be streamed and put together, and so gives way without losing its tokens. The others
 * run whole, and start anew when they gave way.
 */
export function isStreamable (body: Readonly<Record<string, unknown>>): boolean {
  return (body.n ?? 1) === 1 && UNSTREAMABLE_FIELDS.every(field => !body[field])
}
