/** Changes of the configuration that meet other writers in the store. */

import { ok } from "neverthrow";
import tap from "tap";
import * as changeWriter from "../../src/configuration/changeWriter.js";
import type * as chunks from "../../src/configuration/chunks.js";
import type * as schema from "../../src/configuration/schema.js";
import type * as store from "../../src/store/index.js";

const headKey = "/fleet/configuration/head";

function createHead(version: number, changeId = `change-${version}`): chunks.ConfigurationHead {
    const recent = Array.from({ length: version }, (_, index) => ({ changeId: index + 1 === version ? changeId : `change-${index + 1}`, version: index + 1 }));
    return { version, changeId, chunks: {}, recent };
}

// Guards against a change that is refused as if another one had been accepted first, because an instance writes the version in force back to a store that was restored from a backup.
void tap.test("a change while another instance writes to the store", async t => {
    const active = createHead(11);
    /** Writes a change based on version 11 to a store that was restored to version 10, and in which another head appears before the change's own. */
    const writeChange = async (written: chunks.ConfigurationHead) => {
        let current: store.Entry = { key: headKey, value: JSON.stringify(createHead(10)), revision: 40 };
        let isWritten = false;
        const fake = {
            getPrefix: () => "/fleet/",
            getEntry: async () => ok(current),
            swapEntry: async ({ key, expectedRevision, value }: { readonly key: string; readonly expectedRevision: number; readonly value: string; }) => {
                if (key !== headKey) {
                    return ok({ kind: "swapped", revision: 41 });
                }
                if (!isWritten) {
                    isWritten = true;
                    current = { key: headKey, value: JSON.stringify(written), revision: 42 };
                }
                if (expectedRevision !== current.revision) {
                    return ok({ kind: "conflict", current });
                }
                current = { key: headKey, value, revision: 43 };
                return ok({ kind: "swapped", revision: 43 });
            },
        };
        const writer = new changeWriter.ChangeWriter({ store: fake as unknown as store.StoreService, getActiveVersion: () => active.version, getActiveHead: () => active });
        const document = { ranks: [], services: {}, routes: [], retiredFeatures: [], callerHeaders: {}, workspaces: {}, limits: {} } as unknown as schema.ConfigurationDocument;
        const result = await writer.writeChange({ changeId: "new", document, baseVersion: active.version });
        const stored = changeWriter.parseHead(current.value)._unsafeUnwrap();
        return { accepted: result.map(({ head }) => head.version).unwrapOr(undefined), stored: `${stored.version} ${stored.changeId}` };
    };
    t.strictSame(await writeChange(active), { accepted: 12, stored: "12 new" }, "the version in force is written back");
    t.strictSame(await writeChange(createHead(11, "another")), { accepted: undefined, stored: "11 another" }, "another change has the version that this one is based on");
    t.strictSame(await writeChange(createHead(12, "another")), { accepted: undefined, stored: "12 another" }, "another change was accepted first");
});
