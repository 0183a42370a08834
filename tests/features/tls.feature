@real-time
Feature: Processes authenticate each other with certificates

  Guards against a process that starts with unusable TLS files, and against connections
  that are accepted from or opened to a peer whose certificate is missing, expired, for
  another VM or issued by another CA.

  Scenario Outline: TLS files are checked before the program starts
    Given the TLS files of entry settings: <state>
    Then the entry settings with TLS <result>

    Examples:
      | state                               | result                                                                                                                         |
      | all valid                           | are loaded                                                                                                                     |
      | with an intermediate authority      | are loaded                                                                                                                     |
      | the certificate expired             | are rejected with "[tls] certificate: found one that expired"                                                                  |
      | the certificate valid from tomorrow | are rejected with "[tls] certificate: found one not valid before"                                                              |
      | the authority expired               | are rejected with "[tls] ca: found one that expired"                                                                           |
      | the certificate of another CA       | are rejected with "[tls] certificate: found one issued by CN=stranger; allowed: a certificate that one of [tls] ca has issued" |
      | the certificate for another VM      | are rejected with "alternative name IP:127.13.2.1"                                                                             |
      | the key of another certificate      | are rejected with "[tls] key: found the key of another"                                                                        |
      | the certificate missing             | are rejected with "No such file"                                                                                               |
      | the key missing                     | are rejected with "[tls] key: found"                                                                                           |
      | the ca missing                      | are rejected with "[tls] ca: found"                                                                                            |
      | the key unreadable                  | are rejected with "[tls] key: found"                                                                                           |
      | the certificate no PEM              | are rejected with "certificates in PEM form"                                                                                   |
      | the key no PEM                      | are rejected with "a private key in PEM form"                                                                                  |
      | the key with a password             | are rejected with "without a password"                                                                                         |
      | the ca no PEM                       | are rejected with "[tls] ca: found"                                                                                            |

  Scenario Outline: gRPC between processes accepts only certificates of the site's CA
    Given a gRPC server with <server> files
    When a gRPC client with <client> files calls it
    Then the gRPC call <outcome>

    Examples:
      | server       | client       | outcome     |
      | valid        | valid        | is answered |
      | valid        | intermediate | is answered |
      | intermediate | valid        | is answered |
      | no           | no           | is answered |
      | valid        | another CA's | fails       |
      | valid        | expired      | fails       |
      | valid        | no           | fails       |
      | another CA's | valid        | fails       |
      | expired      | valid        | fails       |
      | another VM's | valid        | fails       |
      | no           | valid        | fails       |

  Scenario Outline: An admin port with certificates accepts only those of the site's CA
    Given an HTTPS admin port with <server> files
    When an HTTPS client with <client> files calls it
    Then the HTTPS call <outcome>

    Examples:
      | server       | client       | outcome     |
      | valid        | valid        | is answered |
      | intermediate | intermediate | is answered |
      | valid        | another CA's | fails       |
      | valid        | expired      | fails       |
      | valid        | no           | fails       |
      | another CA's | valid        | fails       |
      | expired      | valid        | fails       |
      | another VM's | valid        | fails       |

  Scenario Outline: The platform's certificate is checked against the trusted CA
    Given an HTTPS platform with <server> files
    When the platform is called with <trusted> as the CA
    Then the HTTPS call <outcome>

    Examples:
      | server       | trusted          | outcome     |
      | valid        | its own          | is answered |
      | valid        | another CA       | fails       |
      | valid        | the system's CAs | fails       |
      | expired      | its own          | fails       |
      | another VM's | its own          | fails       |
