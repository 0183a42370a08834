@long
Feature: Flows keep their targets while entries fail, leave and join

  Guards against flows that break because the entry that held their records is
  gone. The same seeded schedule runs against the engine and against a naive load
  balancer, which hashes flows over the target list and keeps a local table.
  Failures are at least 10 s apart, 20 s on average. Meanwhile targets are admitted
  and retired, and the entries that watch the platform receive these changes up to
  3 s apart. A quarter of the single failures are graceful leaves.

  Scenario Outline: Single failures break no flow
    When flows run through a schedule of single failures, seed <seed>, <network>
    Then the engine breaks 0 flows, and the naive load balancer breaks more

    Examples:
      | seed | network                |
      | 1    | a network without loss |
      | 2    | a network without loss |
      | 3    | lost packets           |
      | 4    | reordered packets      |
