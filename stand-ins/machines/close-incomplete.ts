import type { ServerResponse } from 'node:http'

/**
 * Closes the connection of an answer that is incomplete. One whose end nothing but its connection marks is reset, since a regular close is its end;
 * others are closed, which loses no byte that was written.
 */
export function closeIncomplete (res: ServerResponse, isEndMarked = true): void {
  // Node never releases a socket that is reset while its end is still being sent.
  if (isEndMarked || res.socket === null || res.socket.writableEnded) res.destroy()
  else res.socket.resetAndDestroy()
}
