/** Network addresses as processes exchange them: `host:port`. */

const addressPattern = /^[A-Za-z0-9._-]{1,253}:(\d{1,5})$/
const maxPort = 65_535

/** Tells whether a text is a `host:port` to which a connection can be opened. */
export function isAddress (text: string): boolean {
  const port = Number(addressPattern.exec(text)?.[1])
  return port > 0 && port <= maxPort
}
