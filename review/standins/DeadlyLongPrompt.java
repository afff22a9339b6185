import java.util.List;

/**
 * Requests whose prompts have twenty parts come again and again; the eighteenth part crashes workers. Sound requests with
 * the same first part come beside them, and are answered all the while.
 */
public final class DeadlyLongPrompt {
    private static final int WORKERS = 10;
    private static final int FIRST_EVENT_MILLISECONDS = 100;
    private static final int SOUND_INTERVAL_MILLISECONDS = 200;
    private static final int DEADLY_INTERVAL_MILLISECONDS = 1_500;
    private static final int DEADLY_MILLISECONDS = 30_000;
    private static final int CONTACT_MILLISECONDS = 3_000;
    private static final int ALLOWED = 3;
    private static final int PARTS_BEFORE = 16;

    private DeadlyLongPrompt() {}

    public static void main(String[] arguments) {
        Case.run(arguments, DeadlyLongPrompt::play);
    }

    private static String play(Site site, boolean hasTrouble) throws Exception {
        site.configure(1, Engines.route(), "\"key-1\"");
        Engines engines = new Engines(site, WORKERS, FIRST_EVENT_MILLISECONDS, hasTrouble);
        List<Site.Gateway> gateways = List.of(site.startGateway("front-a-1"), site.startGateway("front-a-2"));
        SoundRequests sound = new SoundRequests(site, engines);
        sound.start(gateways, SOUND_INTERVAL_MILLISECONDS, number -> prompt("a" + number, "a1d03f06:20", "b" + number));
        long end = site.now() + DEADLY_MILLISECONDS;
        for (int number = 0; site.now() < end; number++) {
            engines.request(gateways.get(number % gateways.size()), "deadly-" + number,
                prompt("c" + number, Engines.DEADLY_PART + ":20", "d" + number));
            Case.sleep(DEADLY_INTERVAL_MILLISECONDS);
        }
        Case.sleep(1_000);
        if (!hasTrouble) {
            return null;
        }
        int late = engines.deadlyArrivalsAfter(engines.crashedAt(5) + CONTACT_MILLISECONDS);
        site.note("crashes: " + engines.crashes() + "; requests with the part that reached a worker later than "
            + CONTACT_MILLISECONDS + " ms after the fifth: " + late);
        if (engines.crashes() < 5) {
            return null;
        }
        return late <= ALLOWED ? null : "BUDGET: " + late + " requests with the part that crashes workers reached workers later than "
            + CONTACT_MILLISECONDS + " ms after the fifth crash";
    }

    /** A prompt of twenty parts: the common first one, some of its own, {@code part}, and two more of its own. */
    private static String prompt(String own, String part, String last) {
        StringBuilder parts = new StringBuilder("5c1e07a2:60");
        for (int number = 0; number < PARTS_BEFORE; number++) {
            parts.append(',').append(own).append("f").append(number).append(":20");
        }
        return parts.append(',').append(part).append(',').append(last).append("e0:20,").append(last).append("e1:20").toString();
    }
}
