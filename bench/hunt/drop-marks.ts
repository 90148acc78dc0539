import { splitMark } from '../../stand-ins/engine/split-mark.js'

/** The words of an answer without the marks of the runs that gave them. */
export function dropMarks (answer: string): string {
  return answer.split(' ').map(word => splitMark(word).word).join(' ')
}
