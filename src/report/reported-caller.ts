/** A caller as the configuration names it when the report is made. */
export interface ReportedCaller { readonly share: number, readonly team?: string }
