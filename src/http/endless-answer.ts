/** The failure of an answer that its peer writes without end. */
export class EndlessAnswer extends Error {}
