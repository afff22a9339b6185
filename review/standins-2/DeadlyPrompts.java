/** The part comes in one session after the other: behind many other parts, or early in prompts with long ids. */
final class DeadlyPrompts extends DeadlyChat {
    private static final long LENGTH = 62_000;
    private static final long INTERVAL = 4_000;

    /** Whether the part is the last but one, behind 17 or more others; else it is one of the first 15. */
    private final boolean isBehindOthers;

    private DeadlyPrompts(boolean isBehindOthers, int digits, int leastTurns, int mostTurns) throws Exception {
        super(digits, 4, leastTurns, mostTurns);
        this.isBehindOthers = isBehindOthers;
    }

    private void play() {
        deadly = part();
        long start = Scene.now();
        int count = 0;
        long next = start + WARM_UP;
        while (Scene.now() - start < LENGTH) {
            if (scene.hasTrouble && Scene.now() >= next) {
                Prompt session = anySession();
                int size = session.parts().size();
                session.parts().add(isBehindOthers ? size : 1 + random.nextInt(Math.min(14, size)), deadly);
                session.parts().add(part());
                send("deadly", count++, session);
                next += INTERVAL;
            }
            sendSound(start);
        }
        Scene.sleep(TIME_LIMIT + 500);
        judge();
    }

    /**
     * Arguments: "behind" for prompts of 18 to 24 parts with short ids, whose last shared part is the deadly one; or
     * "long-ids" and the hexadecimal digits of an id, for prompts of 17 to 23 parts with the deadly one early.
     */
    public static void main(String[] arguments) throws Exception {
        boolean isBehindOthers = arguments[0].equals("behind");
        int digits = isBehindOthers ? 8 : Integer.parseInt(arguments[1]);
        new DeadlyPrompts(isBehindOthers, digits, isBehindOthers ? 16 : 15, isBehindOthers ? 22 : 21).play();
    }
}
