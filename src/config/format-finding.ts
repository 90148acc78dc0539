import type { Finding } from './finding.js'

/** A finding as compilers write it, so that editors find the place. */
export function formatFinding ({ file, line, column, message }: Finding): string {
  return `${file}:${line}:${column}: ${message}`
}
