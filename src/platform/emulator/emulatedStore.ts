/** Serves the platform's store protocol over HTTP, backed by the in-memory store. */
import type { MetadataStore, StoreChange, StoredItem } from '../../store/metadataStore.js'
import type { EmulatedResponse, EmulatedHandler } from './emulatedHttp.js'

/** Creates the handler of the store's requests. */
export function createEmulatedStore (store: MetadataStore): EmulatedHandler {
  return async (method, url, body) => {
    const query = url.searchParams
    const [call = '', id = ''] = url.pathname.replace('/sassafrasford/', '').split('/')
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = await store.get(query.get('key') ?? '')
        return item === undefined ? { status: 404 } : { status: 200, body: toWire(item) }
      }
      case 'GET kv-range': {
        const page = await store.range(query.get('prefix') ?? '', query.get('after') ?? undefined)
        return { status: 200, body: { items: page.items.map(toWire), morePages: page.hasMore, currentRev: page.revision } }
      }
      case 'GET kv-watch': {
        const result = await store.watch(query.get('prefix') ?? '', Number(query.get('after')), Number(query.get('waitMs')))
        return { status: 200, body: { events: result.changes.map(toEvent), currentRev: result.revision } }
      }
      case 'POST kv-txn':
        return await transact(body)
      case 'POST kv-lease': {
        const { leaseId, ttlMs } = await store.grantLease(Number(body.ttlMs))
        return { status: 200, body: { lease: leaseId, ttlMs } }
      }
      case 'POST kv-keep':
        await store.keepLeaseAlive(Number(id))
        return { status: 200, body: {} }
      case 'DELETE kv-lease-end':
        await store.revokeLease(Number(id))
        return { status: 200 }
      default:
        return { status: 404 }
    }
  }

  async function transact (body: Record<string, unknown>): Promise<EmulatedResponse> {
    const expected = body.expected as readonly { readonly key: string, readonly rev: number }[]
    const writes = body.writes as readonly { readonly key: string, readonly value: string, readonly lease: number }[]
    const result = await store.transact({
      expected: expected.map(({ key, rev }) => ({ key, revision: rev })),
      writes: writes.map(({ key, value, lease }) => ({ key, value: Buffer.from(value, 'base64').toString(), ...(lease === 0 ? {} : { leaseId: lease }) })),
      removes: body.remove as readonly string[]
    })
    return result.isCommitted ? { status: 200, body: { rev: result.revision } } : { status: 412, body: { items: result.items.map(toWire) } }
  }
}

function toWire (item: StoredItem): object {
  return { key: item.key, value: Buffer.from(item.value).toString('base64'), rev: item.revision, created: item.createdRevision, lease: item.leaseId ?? 0 }
}

function toEvent ({ key, item }: StoreChange): object {
  return item === undefined ? { key, rev: 0, tombstone: true } : toWire(item)
}
