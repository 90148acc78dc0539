import type { OwnerProcess } from './owner-process.js'

/**
 * Whether a job was released by its owner, for other daemons to take over. One that was released because its owner couldn't read it keeps that
 * daemon's name, with no process, so that the others don't leave the job to it.
 */
export function isReleased ({ owner, run }: OwnerProcess): boolean {
  return owner === '' || run === 0
}
