/** Leave for one suspect to run at a server where no other suspect runs. */
export interface Trial {
  readonly server: string
  /** Gives the leave back; may be called again. */
  end (): void
}
