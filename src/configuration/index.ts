/** The plug-in that loads the operators' configuration and keeps it current. */

import * as fs from "node:fs";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as store from "../store/index.js";
import * as configurationService from "./configurationService.js";
import * as externalConfiguration from "./externalConfiguration.js";

export { checkDocument, findDocumentErrors, parseDocument } from "./checkDocument.js";
export { type CompiledConfiguration, type CompiledRoute, type CompiledWorkspace, findRoute } from "./compiledConfiguration.js";
export { configurationKey, type ConfigurationService } from "./configurationService.js";
export { listDifferences } from "./documentDifferences.js";
export { listWarnings } from "./documentWarnings.js";
export { type ConfigurationParser, configurationParserKey, type ExternalConfiguration } from "./externalConfiguration.js";
export { createFinding, type Finding, formatFinding } from "./findings.js";
export { RouteSplitter } from "./routeSplitter.js";
export { type ConfigurationDocument, documentSchema, hostPattern, namePattern, type RankDefinition, type RouteDefinition, type ServiceDefinition, type UpstreamDefinition, upstreamSchema, type WorkspaceDefinition } from "./schema.js";

plugins.registerPlugin({
    name: "configuration",
    dependsOn: ["store", "peers"],
    create: context => {
        const service = new configurationService.ConfigurationService({
            context,
            store: context.services.getService(store.storeKey),
            mesh: context.services.getService(peers.meshKey),
        });
        context.services.setService(configurationService.configurationKey, service);
        return {
            start: async () => {
                service.start(context.services.findService(externalConfiguration.configurationParserKey) ?? externalConfiguration.parseDefaultConfiguration);
                if (context.settings.configuration !== "") {
                    await applyInitialFile(service, context.settings.configuration);
                }
            },
            stop: async () => service.stop(),
            getDump: () => service.getDump(),
        };
    },
});

/** Applies the configuration file that the settings name. A configuration that the store already holds takes precedence. */
async function applyInitialFile(service: configurationService.ConfigurationService, path: string): Promise<void> {
    const applied = await service.applyDocumentText(fs.readFileSync(path, "utf8"), 0, "initial-file");
    if (applied.isErr() && applied.error.kind === "configurationInvalid") {
        throw new Error(`${path}: ${applied.error.message}`);
    }
}
