import { splitMark } from '../../stand-ins/engine/split-mark.js'

/** Returns an answer without the run marks that the engine appends to its words. */
export function dropMarks (answer: string): string {
  return answer.split(' ').map(word => splitMark(word).word).join(' ')
}
