// Compares the tests that failed with the entries of KNOWN-RED.txt.

const entryPattern = /^test: (\S+) \| (.+)$/;

/** Reads the entries `test: FILE | TITLE` of KNOWN-RED.txt; other entries concern the bench and are not run here. */
export function parseKnownFailures(text) {
    return text.split("\n").filter(line => line.startsWith("test: ")).map(line => {
        const [, file, title] = entryPattern.exec(line) ?? [];
        return { line, file, title: title?.trim() };
    });
}

/**
 * Reads the tests of a TAP report: each subtest and assertion with the file and the titles that lead to it.
 * A failed subtest whose own assertions failed is listed as well as those.
 */
export function parseTestPoints(tap) {
    const points = [];
    let path = [];
    for (const line of tap.split("\n")) {
        const [, subtestIndent, subtest] = /^(\s*)# Subtest: (.+)$/.exec(line) ?? [];
        if (subtest !== undefined) {
            path = [...path.slice(0, subtestIndent.length / 4), subtest];
            continue;
        }
        const [, indent, result, title] = /^(\s*)(not ok|ok) \d+ - (.*?)(?: # (?:time=\S+|TODO.*|SKIP.*))?$/.exec(line) ?? [];
        if (title !== undefined) {
            const parents = path.slice(0, indent.length / 4);
            points.push({ file: parents[0] ?? title, titles: [...parents.slice(1), ...parents.length === 0 ? [] : [title]], isPassed: result === "ok" });
        }
    }
    return points;
}

/**
 * Judges a run of the tests.
 * @returns `tolerated`: failures that an entry names; `unexpected`: failed tests that none names; `obsolete`: entries whose test passed; `unknown`: entries that name no test or cannot be read.
 */
export function compareFailures(points, entries) {
    const isNamedBy = entry => point => point.file === entry.file && point.titles.includes(entry.title);
    const isNamed = point => entries.some(entry => isNamedBy(entry)(point));
    const failed = points.filter(({ isPassed }) => !isPassed);
    // A failed point that only contains others fails because of them.
    const isContainer = point => failed.some(other => other !== point && other.file === point.file && other.titles.length > point.titles.length && point.titles.every((title, index) => other.titles[index] === title));
    const leaves = failed.filter(point => !isContainer(point));
    return {
        tolerated: leaves.filter(isNamed),
        unexpected: leaves.filter(point => !isNamed(point)),
        obsolete: entries.filter(entry => points.some(isNamedBy(entry)) && !failed.some(isNamedBy(entry))),
        unknown: entries.filter(entry => !points.some(isNamedBy(entry))),
    };
}
