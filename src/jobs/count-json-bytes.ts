/** Returns the size of a value in JSON, as it is stored and sent to other daemons, bytes. */
export function countJsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}
