/** A refused part is cleared only if its losses may well be chance, or if it passed so often for each moment of losses. */
const MIN_CHANCE = 0.1
const MIN_PASSES = 4

/** Whether runs that passed speak for a part that is refused. */
export function isProvedSound ({ chance, passes }: { readonly chance: number, readonly passes: number }, moments: number): boolean {
  return chance > MIN_CHANCE || passes > MIN_PASSES * moments
}
