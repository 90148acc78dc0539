/** How the end of an answer's body is marked: by its length, by a last chunk, or only by the end of its connection; `none` if it has no body. */
export type AnswerFraming = 'length' | 'chunks' | 'connection' | 'none'
