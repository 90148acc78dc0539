import type { Finding } from './finding.js'

/** Formats a finding like a compiler error, so that editors can jump to its location. */
export function formatFinding ({ file, line, column, message }: Finding): string {
  return `${file}:${line}:${column}: ${message}`
}
