/** Blocks the thread for `time` ms, as a stopped process stands still: the system keeps its connections open and accepts new ones. */
export function blockThread (time: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, time)
}
