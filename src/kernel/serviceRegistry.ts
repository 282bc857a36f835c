/** The typed services that plug-ins offer to each other. */

/** Names a service and carries its type. */
export interface ServiceKey<T> {
    readonly name: string;
    /** Never set; it ties the key to its type. */
    readonly type?: T;
}

/**
 * Creates a key.
 * @param name - A unique name.
 */
export function createServiceKey<T>(name: string): ServiceKey<T> {
    return { name };
}

/** Holds the services of one process. */
export class ServiceRegistry {
    private readonly values = new Map<string, unknown>();

    /**
     * Offers a service.
     * @param key - Its key.
     * @param value - The service.
     */
    setService<T>(key: ServiceKey<T>, value: T): void {
        this.values.set(key.name, value);
    }

    /**
     * Returns a service; undefined where no plug-in offers it.
     * @param key - Its key.
     */
    findService<T>(key: ServiceKey<T>): T | undefined {
        return this.values.get(key.name) as T | undefined;
    }

    /**
     * Returns a service.
     * @param key - Its key.
     * @remarks A missing service is a fault of the plug-ins' declared order, so this throws at start.
     */
    getService<T>(key: ServiceKey<T>): T {
        if (!this.values.has(key.name)) {
            throw new Error(`no plug-in offers the service ${key.name}; declare the one that does in dependsOn`);
        }
        return this.values.get(key.name) as T;
    }
}
