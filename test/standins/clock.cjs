// Loaded before the program: each SIGUSR2 moves the time of day an hour on, and the next one back.
const getTrueTime = Date.now;
const stepMs = 3_600_000;
let offsetMs = 0;
Date.now = () => getTrueTime() + offsetMs;
process.on("SIGUSR2", () => {
    offsetMs = offsetMs === 0 ? stepMs : 0;
});
