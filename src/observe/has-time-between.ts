/** Whether one of the times, which are in order, lies from `from` to `to`. */
export function hasTimeBetween (times: readonly number[], from: number, to: number): boolean {
  let [low, high] = [0, times.length]
  while (low < high) {
    const middle = (low + high) >> 1
    if (times[middle]! < from) low = middle + 1
    else high = middle
  }
  return low < times.length && times[low]! <= to
}
