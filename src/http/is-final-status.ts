const [FIRST, LAST] = [200, 599]

/**
 * Whether an answer may have this status and be final. A server in trouble may send any three digits.
 *
 * Source: RFC 9110, section 15, "Status Codes".
 */
export function isFinalStatus (status: number): boolean {
  return status >= FIRST && status <= LAST
}
