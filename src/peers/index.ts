/** The plug-in that connects the instances of the fleet to each other. */

import * as plugins from "../kernel/plugins.js";
import * as mesh from "./mesh.js";

export { createDeflated, deflatedSchema, parseDeflated } from "./deflatedBody.js";
export type { Member, MemberState } from "./members.js";
export { Mesh, meshKey } from "./mesh.js";
export { computeRelayScore } from "./topology.js";
export { readSharedSecret, readTlsFiles, type TlsFiles } from "./transport.js";

plugins.registerPlugin({
    name: "peers",
    dependsOn: [],
    create: context => {
        const created = new mesh.Mesh(context);
        context.services.setService(mesh.meshKey, created);
        return {
            start: () => created.start(),
            stop: () => created.stop(),
            setSettings: changed => created.addSeeds(changed.seeds),
            getDump: () => created.getDump(),
        };
    },
});
