/** A refused body went on for longer than it is read; its connection is closed. */
export class BodyWithoutEnd extends Error {
  readonly code = 'ERR_BODY_WITHOUT_END'

  constructor () {
    super('a refused body has no end')
  }
}
