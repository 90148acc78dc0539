/** Returns the file of a multipart form, or undefined if the body has none. */
export async function readFormFile (type: string, body: Buffer): Promise<{ readonly name: string, readonly content: string } | undefined> {
  try {
    const form = await new globalThis.Response(new Uint8Array(body), { headers: { 'content-type': type } }).formData()
    const file = form.get('file')
    return file === null || typeof file === 'string' ? undefined : { name: file.name, content: await file.text() }
  } catch {
    return undefined
  }
}
