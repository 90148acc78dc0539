/** Request fields whose effect on the answer can't be reassembled from streamed text. */
const UNSTREAMABLE_FIELDS = ['tools', 'functions', 'logprobs', 'echo', 'best_of', 'audio']

/**
 * Whether an item's answer can be streamed and reassembled, so that its tokens are kept when it is preempted. Other
 * items run unstreamed and start over after a preemption.
 */
export function isStreamable (body: Readonly<Record<string, unknown>>): boolean {
  return (body.n ?? 1) === 1 && UNSTREAMABLE_FIELDS.every(field => !body[field])
}
