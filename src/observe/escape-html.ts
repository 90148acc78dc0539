const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Text made safe to stand in an HTML page, also within an attribute. */
export function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => ESCAPES[character]!)
}
