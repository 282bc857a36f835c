/** Configurations for tests. */

/** Options of a test configuration. */
export interface CreateTestConfigurationOptions {
    /** Addresses by upstream identifier; the part before the dash names the failure domain. */
    readonly upstreams: Readonly<Record<string, string>>;
    readonly slots?: number;
    readonly floor?: number;
    readonly retiredFeatures?: readonly string[];
    readonly deadlineMs?: number;
    readonly minimumStallMs?: number;
}

/** Creates a configuration with one service, a read, an order and a download route. */
export function createTestConfiguration(options: CreateTestConfigurationOptions) {
    const deadlineMs = options.deadlineMs ?? 5_000;
    const shared = { service: "docs", deadlineMs };
    return {
        ranks: [
            { name: "urgent", guaranteedShare: 0.5 },
            { name: "normal", guaranteedShare: 0.2 },
            { name: "bulk", guaranteedShare: 0.1 },
        ],
        services: {
            docs: {
                upstreams: Object.entries(options.upstreams).map(([id, address]) => ({ id, address, failureDomain: id.split("-")[0] })),
                slots: options.slots ?? 3,
                connections: 330,
                floor: options.floor ?? 1,
                ...(options.minimumStallMs === undefined ? {} : { minimumStallMs: options.minimumStallMs }),
            },
        },
        routes: [
            { ...shared, name: "read", rank: "urgent", methods: ["GET", "HEAD"], pathPrefix: "/read", repeatable: true, feature: "reading" },
            { ...shared, name: "normal", rank: "normal", methods: ["GET"], pathPrefix: "/normal", repeatable: true },
            { ...shared, name: "order", rank: "urgent", methods: ["POST"], pathPrefix: "/orders", repeatable: false, feature: "ordering" },
            { ...shared, name: "free-order", rank: "urgent", methods: ["POST"], pathPrefix: "/free-orders", repeatable: false, orderKey: "optional" },
            { ...shared, name: "file", rank: "bulk", methods: ["GET"], pathPrefix: "/files", repeatable: true, feature: "proofs", deadlineMs: Math.max(deadlineMs, 30_000) },
        ],
        retiredFeatures: options.retiredFeatures ?? [],
    };
}
