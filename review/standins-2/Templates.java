import java.util.ArrayList;
import java.util.List;

/**
 * The part comes with one template after the other, three times with each. Sound requests have the same templates, but
 * only before and after these requests.
 */
final class Templates extends DeadlyChat {
    private static final int TEMPLATES = 6;
    private static final int REQUESTS_OF_TEMPLATE = 3;
    private static final long INTERVAL = 2_500;
    private static final long LENGTH = 58_000;
    private static final long SOUND_UNTIL = WARM_UP - 2_000;
    private static final long SOUND_FROM = LENGTH - 4_000;
    private static final long SOUND_INTERVAL = 300;
    private static final int FIRST_SOUND = 1_000_000;

    private Templates() throws Exception {
        super(8, 1, 1, 12);
    }

    private void play() {
        deadly = part();
        String first = anySession().parts().get(0);
        List<String> templates = new ArrayList<>();
        for (int template = 0; template < TEMPLATES; template++) templates.add(part());
        long start = Scene.now();
        int deadlyCount = 0;
        int soundCount = FIRST_SOUND;
        long nextDeadly = start + WARM_UP;
        long nextSound = start;
        while (Scene.now() - start < LENGTH) {
            long elapsed = Scene.now() - start;
            if (Scene.now() >= nextSound && (elapsed < SOUND_UNTIL || elapsed > SOUND_FROM)) {
                send("sound", soundCount, new Prompt(List.of(first, templates.get(soundCount % TEMPLATES), part()), 0));
                soundCount++;
                nextSound = Scene.now() + SOUND_INTERVAL;
            }
            boolean isDue = Scene.now() >= nextDeadly && deadlyCount < TEMPLATES * REQUESTS_OF_TEMPLATE;
            if (scene.hasTrouble && isDue) {
                String template = templates.get(deadlyCount / REQUESTS_OF_TEMPLATE);
                send("deadly", deadlyCount++, new Prompt(List.of(first, template, deadly, part()), 0));
                nextDeadly += INTERVAL;
            }
            sendSound(start);
        }
        Scene.sleep(TIME_LIMIT + 500);
        judge();
    }

    public static void main(String[] arguments) throws Exception {
        new Templates().play();
    }
}
