/** A caller in the configuration in force when the report is created. */
export interface ReportedCaller { readonly share: number, readonly team?: string }
