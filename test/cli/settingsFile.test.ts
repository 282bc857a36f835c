/** Tests the parser of the settings file. */

import tap from "tap";
import * as settingsFile from "../../src/cli/settingsFile.js";

void tap.test("settings file", async t => {
    t.strictSame(settingsFile.parseSettings("# a comment\n\ninstance-id = i1\nseeds=\nstore=kv://10.0.0.1:80\n")._unsafeUnwrap(), { instanceId: "i1", store: "kv://10.0.0.1:80" });
    const testInvalid = (text: string, expected: RegExp) => t.match(settingsFile.parseSettings(text)._unsafeUnwrapErr().message, expected, text);
    testInvalid("instance-id=i1\nno-such-flag=1", /line 2: "no-such-flag=1" names no setting/);
    testInvalid("instance-id", /line 1/);
    t.match(settingsFile.readSettingsFile("/nowhere/at/all")._unsafeUnwrapErr().message, /\/nowhere\/at\/all: ENOENT/);
});
