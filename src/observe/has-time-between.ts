/** Checks by binary search whether any of the sorted times lies between `from` and `to`, both inclusive. */
export function hasTimeBetween (times: readonly number[], from: number, to: number): boolean {
  let [low, high] = [0, times.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if (times[middle]! < from) low = middle + 1
    else high = middle
  }
  return low < times.length && times[low]! <= to
}
