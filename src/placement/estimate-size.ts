/** Generated tokens that take an engine as long as a prompt token: a step generates one, and reads some hundred. */
const PROMPT_TOKEN_SIZE = 0.005

/**
 * Estimates how long a request holds a slot, in generated tokens of any engine.
 *
 * @example estimateSize({ prompt: 400, output: 200 }) // 202
 */
export function estimateSize ({ prompt, output }: { readonly prompt: number, readonly output: number }): number {
  return Math.max(1, output + prompt * PROMPT_TOKEN_SIZE)
}
