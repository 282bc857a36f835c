// Preloaded into the program to simulate clock steps. SIGUSR2 moves the wall clock one hour ahead, the next SIGUSR2 moves it back.
const getTrueTime = Date.now;
const stepMs = 3_600_000;
let offsetMs = 0;
Date.now = () => getTrueTime() + offsetMs;
process.on("SIGUSR2", () => {
    offsetMs = offsetMs === 0 ? stepMs : 0;
});
