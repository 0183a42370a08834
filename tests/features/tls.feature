Feature: Processes prove themselves to each other with certificates

  Scenario Outline: Files are checked before anything starts
    Given the three TLS files of entry settings, <state>
    Then the entry settings with TLS <verdict>

    Examples:
      | state                              | verdict                                                  |
      | all good                           | load                                                     |
      | with an intermediate authority     | load                                                     |
      | the certificate expired            | fail, telling "[tls] certificate: found one that expired" |
      | the certificate of tomorrow        | fail, telling "[tls] certificate: found one not valid before" |
      | the authority expired              | fail, telling "[tls] ca: found one that expired"         |
      | the certificate of a stranger's CA | fail, telling "[tls] certificate: found one issued by CN=stranger; allowed: a certificate that one of [tls] ca has issued" |
      | the certificate for another VM     | fail, telling "alternative name IP:127.13.2.1"           |
      | the key of another certificate     | fail, telling "[tls] key: found the key of another"      |
      | the certificate missing            | fail, telling "No such file"                             |
      | the key missing                    | fail, telling "[tls] key: found"                         |
      | the ca missing                     | fail, telling "[tls] ca: found"                          |
      | the key unreadable                 | fail, telling "[tls] key: found"                         |
      | the certificate no PEM             | fail, telling "certificates in PEM form"                 |
      | the key no PEM                     | fail, telling "a private key in PEM form"                |
      | the key with a password            | fail, telling "without a password"                       |
      | the ca no PEM                      | fail, telling "[tls] ca: found"                          |

  Scenario Outline: gRPC between processes takes the site's own only
    Given a gRPC server with <server> files
    When a gRPC client with <client> files calls it
    Then the gRPC call <outcome>

    Examples:
      | server                   | client       | outcome     |
      | good                     | good         | is answered |
      | good                     | intermediate | is answered |
      | intermediate             | good         | is answered |
      | no                       | no           | is answered |
      | good                     | a stranger's | fails       |
      | good                     | expired      | fails       |
      | good                     | no           | fails       |
      | a stranger's             | good         | fails       |
      | expired                  | good         | fails       |
      | another VM's             | good         | fails       |
      | no                       | good         | fails       |

  Scenario Outline: An admin port with certificates takes the site's own only
    Given an HTTPS admin port with <server> files
    When an HTTPS client with <client> files asks it
    Then the HTTPS call <outcome>

    Examples:
      | server       | client       | outcome     |
      | good         | good         | is answered |
      | intermediate | intermediate | is answered |
      | good         | a stranger's | fails       |
      | good         | expired      | fails       |
      | good         | no           | fails       |
      | a stranger's | good         | fails       |
      | expired      | good         | fails       |
      | another VM's | good         | fails       |

  Scenario Outline: The platform is checked against its authority
    Given an HTTPS platform with <server> files
    When it is asked with <trusted> as the authority
    Then the HTTPS call <outcome>

    Examples:
      | server       | trusted     | outcome     |
      | good         | its own     | is answered |
      | good         | a stranger  | fails       |
      | good         | the system  | fails       |
      | expired      | its own     | fails       |
      | another VM's | its own     | fails       |
