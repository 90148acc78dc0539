import type { Result } from 'ts-results'
import { checkInSteps } from './check-in-steps.js'
import type { CheckedFiles } from './checked-files.js'
import type { Finding } from './finding.js'

/**
 * Merges files key by key in the order of their names and checks the result. Returns the findings of all files
 * together, ordered by location. Consistency across keys is checked only if there are no other findings.
 *
 * @example
 * checkFiles(new Map([['10-models.yaml', 'models: {}'], ['20-limits.yaml', 'limits: { deadline: 5 }']])).val
 * // [{ file: '20-limits.yaml', line: 1, column: 11, message: 'limits.deadline: 5 is out of bounds: 100 to 3600000 (ms)' }]
 */
export function checkFiles (files: ReadonlyMap<string, string>): Result<CheckedFiles, readonly Finding[]> {
  const steps = checkInSteps(files)
  for (;;) {
    const step = steps.next()
    if (step.done === true) return step.value
  }
}
