/** The body of an answer that was read to its end. */
export interface WholeBody {
  readonly body: Buffer
  /** False if nothing but the end of its connection shows that the body is complete. */
  readonly isEndMarked: boolean
}
